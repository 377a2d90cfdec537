"""Stand-ins for the outside systems that pomelostair meets."""
