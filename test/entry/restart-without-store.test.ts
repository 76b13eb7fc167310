/**
What a gateway knows of targets that restarts while nobody reaches the store.
*/
import {test} from 'tap';
import {playDays} from '../support/play-days.js';

/** Days on which gateways restart while the store is away for over three heartbeats. */
const seeds = [115, 244, 318, 465];

test('a gateway that restarts while the store is away learns the targets from its peers', async t => {
	const violations = await playDays(seeds);
	t.strictSame(violations.filter(({kind}) => kind === 'not known after a restart'), []);
});
