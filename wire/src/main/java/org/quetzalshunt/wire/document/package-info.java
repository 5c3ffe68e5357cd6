/**
 * Service documents as text: YAML or JSON, checked whole, with every error at once and its place. The form is published
 * as docs/service-document.schema.json; a test keeps the two in step.
 */
package org.quetzalshunt.wire.document;
