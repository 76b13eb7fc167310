/**
How urgent a request is among those of its service.
*/

/**
Of two requests, the one with the lower `order` goes first.
*/
export type Urgency = {
	readonly order: number;
	/** Number of values that `order` can have, counted from 0; undefined without teams, where `order` is the route's priority. */
	readonly levels: number | undefined;
};
