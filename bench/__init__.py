"""Load generator, scenarios and measurements over the real processes."""
