"""Load generator, scenarios and measurements against the real daemons."""
