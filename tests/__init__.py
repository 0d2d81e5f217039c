"""Tests of fireflylock."""
