"""Query routing over sharded search upstreams within a fixed budget."""
