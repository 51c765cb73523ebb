"""Servers that announce themselves to control, and the ranges of keys that they hold."""
