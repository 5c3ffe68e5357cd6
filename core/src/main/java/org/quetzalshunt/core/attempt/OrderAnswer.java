package org.quetzalshunt.core.attempt;

/** What the engine said to an order, or about it. */
public sealed interface OrderAnswer {
    /** Taken up, under an id by which to ask again. */
    record Accepted(String order) implements OrderAnswer {}

    /** Still under way. */
    record Running() implements OrderAnswer {}

    /** Carried out. */
    record Done() implements OrderAnswer {}

    /** Given up by the engine. */
    record Failed() implements OrderAnswer {}

    /** Refused: the engine has taken an order with a higher fencing token. */
    record Fenced() implements OrderAnswer {}

    /** No answer, or one that says nothing; the order may be under way. */
    record Unknown() implements OrderAnswer {}
}
