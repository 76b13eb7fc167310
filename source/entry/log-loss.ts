/**
Counts and logs the attempts that a target broke off, and whether the target has crashed.
*/
import type {CrashMonitor} from './crash-monitor.js';
import type {EntryContext} from './entry-context.js';

type Loss = Parameters<ConstructorParameters<typeof CrashMonitor>[0]['onLost']>[0];

/** Requests and parts that one line names. */
const maxNamed = 24;

/**
Writes one line for each loss, which names the requests and the shared parts of their prompts.

@example
```
logLoss(context, {target, requests, at, isCrash: true});
```
*/
export const logLoss = ({metrics, log, now}: Pick<EntryContext, 'metrics' | 'log' | 'now'>, {target, requests, at, isCrash}: Loss): void => {
	const event = isCrash ? 'target crashed' : 'target still listens';
	const parts = [...new Set(requests.flatMap(request => request.parts))];
	metrics.count(isCrash ? 'target.crashed' : 'target.broke-off');
	metrics.count('target.lost-requests', requests.length);
	log.warn({
		event,
		target: target.id,
		address: target.address,
		service: target.service,
		age: Math.round(now() - at),
		lost: requests.length,
		requests: requests.slice(0, maxNamed).map(({requestId}) => requestId).join(','),
		parts: parts.slice(0, maxNamed).join(','),
		partCount: parts.length,
	}, isCrash ? 'target has crashed: attempts were lost and nothing listens at its address' : 'attempts were lost at a target that still listens');
};
