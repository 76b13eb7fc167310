/**
The properties of a request by which its target is chosen.
*/

/**
A request, reduced to what the choice of a target depends on.
*/
export type RoutedRequest = {
	readonly kind: 'model' | 'plain';
	/** Hash key; it is the same for requests that share a prompt prefix. */
	readonly prefix: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Targets that must not be chosen again, as they refused or failed this request. */
	readonly avoid: readonly string[];
};
