/**
Decides which engine next loads the configured model and version.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {PlannedEngine} from './planned-engine.js';

type VersionedEngine = PlannedEngine & {readonly model: string; readonly version: string};
type Wanted = {readonly model: string; readonly version: string};

/**
Returns the engine to change next, or none.

One engine changes at a time: the weight store is rate-limited, and the others
keep serving. The one with the least work to move goes first, as every engine has
to change once whatever the order.

@example
```
planVersion(engines, {model: 'appraiser', version: '2'});
```
*/
export const planVersion = (engines: readonly VersionedEngine[], wanted: Wanted): option.Option<VersionedEngine> => {
	const outdated = engines.filter(({model, version, isReady}) => isReady && (model !== wanted.model || version !== wanted.version));
	return outdated.length === 0 || engines.some(({isChanging}) => isChanging)
		? option.none
		: option.some(outdated.reduce((least, engine) => engine.liveTokens < least.liveTokens ? engine : least));
};
