/** The operator's command line: documents, status and dumps over the administration API. */
package org.quetzalshunt.server.operator;
