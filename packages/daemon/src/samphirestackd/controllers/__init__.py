"""Controllers that connect the schedulers with the rest of the system."""
