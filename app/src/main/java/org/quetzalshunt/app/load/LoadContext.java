package org.quetzalshunt.app.load;

/** Objects that all programs of a run share. */
record LoadContext(LoadPlan plan, RoundRobinClient client, LoadClock clock) {}
