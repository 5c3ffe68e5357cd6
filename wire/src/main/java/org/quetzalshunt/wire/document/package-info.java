/**
 * Parses and validates service documents in YAML or JSON. All errors of a document are reported together, each with its
 * line and path. The format is published as docs/service-document.schema.json; a test checks that both list the same
 * fields.
 */
package org.quetzalshunt.wire.document;
