"""Benchmarks: ratios against a target or a baseline of the same run."""
