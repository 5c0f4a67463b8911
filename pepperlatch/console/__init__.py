"""What operators and members see: one model of the scheduler, its history, and the faces made from it."""
