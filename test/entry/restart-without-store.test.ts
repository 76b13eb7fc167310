/**
A gateway that restarts while no gateway can reach the store must get the targets from its
peers.
*/
import {test} from 'tap';
import {playDays} from '../support/play-days.js';

/** Seeds of days on which gateways restart while the store is unavailable for more than three heartbeats. */
const seeds = [115, 244, 318, 465];

test('a gateway that restarts while the store is unavailable gets the targets from its peers', async t => {
	const violations = await playDays(seeds);
	t.strictSame(violations.filter(({kind}) => kind === 'not known after a restart'), []);
});
