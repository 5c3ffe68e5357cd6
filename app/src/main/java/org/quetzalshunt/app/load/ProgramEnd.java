package org.quetzalshunt.app.load;

/** How a program ended for its caller. */
enum ProgramEnd {
    FINISHED,
    FAILED
}
