/**
A value held by the key-value service.
*/

/**
A value with the store's revisions: `revision` of its last change, `createdAt` of
the write that created the key, which serves as fencing number of a lease.
*/
export type StoredValue = {
	readonly value: string;
	readonly revision: number;
	readonly createdRevision: number;
	/** Identifier of the lease that the key is bound to; '0' for none. */
	readonly lease: string;
};
