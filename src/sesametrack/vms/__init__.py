"""Membership and life cycle of the daemons."""
