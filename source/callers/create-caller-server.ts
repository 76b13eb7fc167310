/**
Connects the server for callers to the router, with the limits of what callers may hold.
*/
import type {memoryShares} from '../decisions/callers/memory-shares.js';
import {CallerServer} from '../entry/caller-server.js';
import type {EntryContext} from '../entry/entry-context.js';
import type {RequestRouter} from '../entry/request-router.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import {resultCode} from '../generated/result-codes.js';
import {CallerGuard} from './caller-guard.js';

type CallerServerParts = {
	readonly context: EntryContext;
	readonly router: RequestRouter;
	readonly shares: Pick<ReturnType<typeof memoryShares>, 'callerBytes' | 'headBytes' | 'connections'>;
	readonly limits: () => FleetConfiguration['limits'] | undefined;
	readonly isClosing: () => boolean;
};

const refusalCodes = {
	improper: resultCode.malformedRequest, 'header too large': resultCode.headerTooLarge, 'body too large': resultCode.requestTooLarge, memory: resultCode.callersHoldTooMuch,
} as const;

/** When a caller that is refused for what all of them hold may return. */
const memoryRetrySeconds = 1;

/**
@example
```
const server = createCallerServer({context, router, shares, limits: () => configuration?.limits, isClosing: () => false});
```
*/
export const createCallerServer = ({context, router, shares, limits, isClosing}: CallerServerParts): CallerServer => {
	const {metrics, log, now, activity, protocol} = context;
	return new CallerServer({
		guard: new CallerGuard({
			...shares, metrics, log, now,
		}),
		limits,
		isClosing,
		onRequest(request, body, answer, arrival) {
			activity.measure('request', body?.byteLength ?? 0, () => {
				router.route(request, body, answer, arrival);
			});
		},
		onRefused(request, answer, reason) {
			const code = refusalCodes[reason];
			metrics.count(`request.refused.${code}`);
			if (reason === 'memory') {
				answer.sendError(code, protocol.writeRefusal(protocol.readRequestId(request.rawHeaders)), memoryRetrySeconds);
				return;
			}

			log.info({event: 'request refused', reason, bytes: request.rawHeaders.length}, 'request refused before routing');
			answer.sendError(code, {});
		},
	});
};
