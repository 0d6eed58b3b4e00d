"""Benchmarks of the gateway, one module or group of modules each."""
