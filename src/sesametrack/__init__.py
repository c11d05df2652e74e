"""A query tier over many shards for a fixed search budget."""
