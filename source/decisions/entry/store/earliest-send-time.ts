/**
Bounds how long ago a peer sent a message, without a common clock.

A message can wait for a long time before it is handled: in the queue of a slow link, or
while the receiver's event loop is busy. An age that counts from the handling would make
old data look new. So peers return the time stamp of this gateway's last digest, with the
time for which they had held it. The message was sent after the digest was sent and then
held, because the digest's own travel takes some time too.
*/

type Echo = {
	/** When this gateway sent its digest, on its own monotonic clock. */
	readonly sentAt: number;
	/** How long the peer had held the digest when it sent the message. */
	readonly heldMilliseconds: number;
};

/**
Returns the earliest time, on the monotonic clock of this gateway, at which the message can
have been sent. The peer's clock may have stood still for a while, which makes the time too
early and never too late.

@example
```
earliestSendTime({sentAt: 2800, heldMilliseconds: 209}, 3910); // 3009
```
*/
export const earliestSendTime = ({sentAt, heldMilliseconds}: Echo, now: number): number => Math.min(now, sentAt + heldMilliseconds);
