"""The simulator adapter: connects the decision module to the line protocol of a simulator."""
