"""Controllers that bring the world in line with decisions."""
