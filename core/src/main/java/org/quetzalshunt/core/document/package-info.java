/** Service documents, in which teams declare their services, as immutable values. */
package org.quetzalshunt.core.document;
