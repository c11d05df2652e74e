"""Events, metrics and logs."""
