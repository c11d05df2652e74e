"""Query processing at an entry, from admission to the answer."""
