"""Benchmarks; each module is a program of its own."""
