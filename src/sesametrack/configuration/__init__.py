"""The replica of the accepted configuration and how it spreads."""
