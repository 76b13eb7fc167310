/**
How often gateways send digests to all others.
*/
import {test} from 'tap';
import {digestPace} from '../../../source/decisions/entry/store/digest-pace.js';

const tickMilliseconds = 200;
/** What a peer has reported expires after this time. */
const peerExpiryMilliseconds = 1500;

test('in a small fleet, digests are sent on every tick and placements of long prompts immediately', t => {
	t.strictSame(digestPace(5), {ticks: 1, isPlacementBroadcast: true});
	t.end();
});

test('a gateway sends at most eight digests a tick on average, from eight gateways to forty', t => {
	const digestsEachTick = [8, 16, 24, 32, 40].map(gateways => (gateways - 1) / digestPace(gateways).ticks);
	t.ok(digestsEachTick.every(each => each <= 8), digestsEachTick.join(', '));
	t.end();
});

test('in a fleet of any size, the next digest is sent before the previous one expires', t => {
	t.ok([1, 5, 31, 100, 370].every(gateways => digestPace(gateways).ticks * tickMilliseconds < peerExpiryMilliseconds));
	t.end();
});
