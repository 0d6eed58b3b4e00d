"""Benches of the gateway, one module each."""
