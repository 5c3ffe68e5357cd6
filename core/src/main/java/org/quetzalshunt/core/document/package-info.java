/** Service documents: what a team declares about its service, as small immutable values. */
package org.quetzalshunt.core.document;
