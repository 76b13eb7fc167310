/**
What the connection of a caller asks of the one who keeps all connections within their limits.

It stands by itself, so that neither of the two modules needs the other.
*/
import type {CallerHoldings} from '../decisions/callers/caller-holdings.js';

/** What a connection holds. */
type Kind = Parameters<CallerHoldings<unknown>['set']>[2];

/**
`Feed` is the connection.

@example
```
owner.setHolding(feed, 'incoming', 4_000_000);
owner.enforce();
```
*/
export type FeedOwner<Feed> = {
	readonly now: () => number;
	/** Counts what a connection holds of one kind, in bytes. */
	readonly setHolding: (feed: Feed, kind: Kind, bytes: number) => void;
	/** Takes memory back from those who hold most until the total is within its limit. */
	readonly enforce: () => void;
	/** Does so in a later turn of the event loop. */
	readonly enforceSoon: () => void;
	/** Lets the connection go on when it is its turn. */
	readonly askForTurn: (feed: Feed) => void;
	/** Closes the connection, because the parser expects other bytes of its request than were announced. */
	readonly closeMisread: (feed: Feed) => void;
	/** The connection has been closed. */
	readonly remove: (feed: Feed) => void;
};
