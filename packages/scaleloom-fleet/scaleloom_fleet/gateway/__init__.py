"""The entry process for plain HTTP routes, straight before the targets."""
