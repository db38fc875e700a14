"""What must hold of a run, as functions of what was seen from outside; and a model checker of consensus."""
