"""Benchmarks with bounds."""
