"""All input and output of the daemons."""
