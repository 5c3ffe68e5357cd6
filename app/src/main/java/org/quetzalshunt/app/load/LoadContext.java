package org.quetzalshunt.app.load;

/** What all programs of a run share. */
record LoadContext(LoadPlan plan, CallerConnection connection, LoadClock clock) {}
