"""Events, metrics, logs and the timeline."""
