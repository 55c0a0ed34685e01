"""Limits on concurrent work, load shedding and retry budgets."""
