"""Tests of the limit of open files."""

import resource

from fireflylock.descriptors import raise_descriptor_limit


def test_the_soft_limit_is_raised_to_the_hard_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lower = soft - 1 if soft > 0 else 1024
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (lower, hard))
        assert raise_descriptor_limit() == hard
        assert resource.getrlimit(resource.RLIMIT_NOFILE) == (hard, hard)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
