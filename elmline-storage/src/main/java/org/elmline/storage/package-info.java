/** The synced log and snapshots of a control host. */
package org.elmline.storage;
