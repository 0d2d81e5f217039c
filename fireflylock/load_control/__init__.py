"""Decisions under load, without clock, network or settings: what a server gets, and when."""
