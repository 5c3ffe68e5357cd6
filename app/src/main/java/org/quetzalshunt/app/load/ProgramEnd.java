package org.quetzalshunt.app.load;

/** Whether a program finished or failed from the point of view of its caller. */
enum ProgramEnd {
    FINISHED,
    FAILED
}
