/**
Lets the open requests of a gateway that stops come to their end.
*/
import {clock} from '../shared/clock.js';
import {pause} from '../shared/pause.js';
import type {CallerServer} from './caller-server.js';
import type {EntryContext} from './entry-context.js';

type DrainOptions = {
	readonly server: Pick<CallerServer, 'open' | 'closeIdle'>;
	readonly openRequests: EntryContext['openRequests'];
	/** Monotonic time in milliseconds until which targets may answer. */
	readonly until: number;
};

const checkIntervalMilliseconds = 50;
/** Time for the final answers of the gateway itself to be written. */
const finalAnswerMilliseconds = 200;

const waitUntilDrained = async (server: DrainOptions['server'], until: number): Promise<void> => {
	while (server.open > 0 && clock() < until) {
		server.closeIdle();
		await pause(checkIntervalMilliseconds); // eslint-disable-line no-await-in-loop
	}
};

/**
Resolves once no request is open, 200 ms after `until` at the latest. Requests whose target has
not answered by then get a final answer that says what is known, instead of a closed connection.

@example
```
await drainRequests({server, openRequests, until: clock() + 7600});
```
*/
export const drainRequests = async ({server, openRequests, until}: DrainOptions): Promise<void> => {
	await waitUntilDrained(server, until);
	for (const request of openRequests) {
		request.stop();
	}

	await waitUntilDrained(server, clock() + finalAnswerMilliseconds);
};
