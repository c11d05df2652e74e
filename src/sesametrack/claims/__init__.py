"""At-most-once execution of non-repeatable requests."""
