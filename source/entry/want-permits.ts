/**
Asks for permits for one more request to a service.
*/
import type {EntryContext} from './entry-context.js';

/**
Called before a target is chosen, so that targets with a rate limit can be among the candidates. Permits of other gateways' targets come too late for this request, but not for the next one.

@example
```
wantPermits(context, 'auction-floor');
```
*/
export const wantPermits = ({rateLimits, targetRegistry}: Pick<EntryContext, 'rateLimits' | 'targetRegistry'>, service: string): void => {
	if (rateLimits.hasLimits) {
		rateLimits.want(targetRegistry.usable(service).map(({incarnation}) => incarnation));
	}
};
