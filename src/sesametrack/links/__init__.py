"""Network connections of the daemons."""
