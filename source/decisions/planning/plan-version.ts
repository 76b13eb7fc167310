/**
Decides which engine is next to load the configured model and version.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {PlannedEngine} from './planned-engine.js';

type VersionedEngine = PlannedEngine & {readonly model: string; readonly version: string};
type Wanted = {readonly model: string; readonly version: string};

/**
Returns the engine to change next, or none.

One engine changes at a time, because the weight store is rate-limited and the
other engines have to keep serving. The engine with the least work to finish or
hand over is changed first; as every engine changes exactly once, no other order
would save changes.

@example
```
planVersion(engines, {model: 'appraiser', version: '2'});
```
*/
export const planVersion = (engines: readonly VersionedEngine[], wanted: Wanted): option.Option<VersionedEngine> => {
	const outdated = engines.filter(({model, version, isReady}) => isReady && (model !== wanted.model || version !== wanted.version));
	return outdated.length === 0 || engines.some(({isChanging}) => isChanging)
		? option.none
		: option.some(outdated.reduce((least, engine) => engine.pendingWork < least.pendingWork ? engine : least));
};
