/**
How often gateways tell all others.
*/
import {test} from 'tap';
import {digestPace} from '../../../source/decisions/entry/digest-pace.js';

const tickMilliseconds = 200;
/** A peer's word older than this is no longer counted. */
const peerWordMilliseconds = 1500;

test('a small fleet is told at each tick, and of long prompts at once', t => {
	t.strictSame(digestPace(5), {ticks: 1, isPlacementTold: true});
	t.end();
});

test('messages of a gateway stay the same from eight gateways to forty', t => {
	const messages = [8, 16, 24, 32, 40].map(gateways => (gateways - 1) / digestPace(gateways).ticks);
	t.ok(messages.every(each => each <= 8), messages.join(', '));
	t.end();
});

test('however large the fleet, the next digest comes before the former one counts no longer', t => {
	t.ok([1, 5, 31, 100, 370].every(gateways => digestPace(gateways).ticks * tickMilliseconds < peerWordMilliseconds));
	t.end();
});
