/**
A request as routing sees it.
*/

/**
What routing needs to know of a request.
*/
export type RoutedRequest = {
	readonly kind: 'model' | 'plain';
	/** Hash input that requests with a shared prompt prefix have in common. */
	readonly prefix: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Targets that refused or failed this request. */
	readonly avoid: readonly string[];
};
