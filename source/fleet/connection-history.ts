/**
What a connection to a target has carried before the request at hand, since it was opened.

It tells whether an answer on it may belong to an earlier request.
*/

export type ConnectionHistory = {
	/** True when another request was sent on the connection before. */
	readonly isUsed: boolean;
	/** True when the same request was sent on the connection before. */
	readonly hasCarriedRequest: boolean;
};
